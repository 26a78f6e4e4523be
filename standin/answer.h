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

/** A parsed payload. Fields that are missing are 0, false or as stated. */
struct ColtStandinPayload
{
  int64_t run_ms;      /**< run time on a server of speed 1 */
  int64_t bytes;       /**< size of the answer's filler */
  uint64_t seed;       /**< seed of the filler */
  int64_t cores_milli; /**< cores needed, -1 (missing): the limit */
  int64_t memory_mb;   /**< memory needed, -1 (missing): the limit */
  int64_t done_ms;     /**< progress of the checkpoint to resume from */
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
 * the checksum of the filler and the text before it as 16 hexadecimal digits,
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
