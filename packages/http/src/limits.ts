/** Limit of interim answers (status 1xx) before an answer. */
export const MAXIMUM_INTERIM_ANSWERS = 16;

/** Limit of an answer whose size is not declared or that is kept in memory; an answer of the largest
 * turn is smaller by far. */
export const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;
