/**
 * \file
 * \brief What a task on a stand-in backend server answers.
 *
 * A task's payload is text, `key=value;...`. Its answer depends only on the
 * task's name and its payload, so that a checker can compute it again.
 */
#ifndef COLT_STANDIN_ANSWER_H
#define COLT_STANDIN_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Largest filler of an answer in bytes. */
#define COLT_STANDIN_ANSWER_FILLER_MAX (1024 * 1024)

/** A payload that has been read; what it leaves out is 0 or -1. */
struct ColtStandinPayload
{
  int64_t run_ms;      /**< run time on a server of speed 1 */
  int64_t bytes;       /**< size of the answer's filler */
  uint64_t seed;       /**< of the filler */
  int64_t cores_milli; /**< true use, -1: the limit */
  int64_t memory_mb;   /**< true use, -1: the limit */
  int64_t done_ms;     /**< progress of a checkpoint to go on from */
  bool fail;           /**< ends with exit 1 */
  bool forever;        /**< runs until it is stopped */
};

/** Reads a payload; keys that are not known are left to others. */
void colt_standin_payload_parse (const uint8_t *text,
                                 size_t size,
                                 struct ColtStandinPayload *payload);

/**
 * Computes an answer: "answer TASK seed SEED ", the filler, a space, the
 * checksum of all before it as 16 hexadecimal digits, and a newline.
 *
 * \param task  the task's text name, REQUEST-INDEX
 * \param size  set to the answer's size in bytes
 * \return      the answer, to be freed with free()
 */
uint8_t *colt_standin_answer (const char *task,
                              const uint8_t *payload,
                              size_t payload_size,
                              size_t *size);

/** Returns the size in bytes of that answer. */
size_t colt_standin_answer_size (const char *task,
                                 const uint8_t *payload,
                                 size_t payload_size);

#endif
