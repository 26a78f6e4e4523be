/**
 * \file
 * \brief Payloads and answers of tasks on a stand-in backend server.
 *
 * The payload of a task is a text `key=value;...`. The answer depends only on
 * the name and the payload of the task, so that a checker can recompute it.
 */
#ifndef COLT_STANDIN_ANSWER_H
#define COLT_STANDIN_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Largest size of the filler of an answer in bytes. */
#define COLT_STANDIN_ANSWER_FILLER_MAX (1024 * 1024)

/** A parsed payload. Missing fields are 0 or false; cores_milli and memory_mb
 * are -1. */
struct ColtStandinPayload
{
  int64_t run_ms;      /**< run time on a server of speed 1 */
  int64_t bytes;       /**< size of the answer's filler in bytes */
  uint64_t seed;       /**< seed of the filler */
  int64_t cores_milli; /**< needed thousandths of a core; -1: the limit */
  int64_t memory_mb;   /**< needed memory in mebibytes; -1: the limit */
  int64_t done_ms;     /**< work saved in the checkpoint to resume from */
  bool fail;           /**< ends with exit status 1 */
  bool forever;        /**< runs until it is stopped */
};

/**
 * Parses a payload. Unknown keys are ignored. Numbers other than the seed are
 * clamped to 0 ... 10^12, `bytes` to COLT_STANDIN_ANSWER_FILLER_MAX.
 */
void colt_standin_payload_parse (const uint8_t *text,
                                 size_t size,
                                 struct ColtStandinPayload *payload);

/**
 * Computes the answer of a task: "answer TASK seed SEED ", the filler, a space,
 * the XXH3 checksum of all bytes before that space as 16 hexadecimal digits,
 * and a newline.
 *
 * \param task  name of the task, REQUEST-INDEX
 * \param size  set to the size of the answer in bytes
 * \return      the answer, to be freed with free()
 */
uint8_t *colt_standin_build_answer (const char *task,
                                    const uint8_t *payload,
                                    size_t payload_size,
                                    size_t *size);

/** Returns the size in bytes of the result of colt_standin_build_answer(). */
size_t colt_standin_answer_size (const char *task,
                                 const uint8_t *payload,
                                 size_t payload_size);

#endif
