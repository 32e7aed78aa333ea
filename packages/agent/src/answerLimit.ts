/** Limit of an endpoint's answer. */
export const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;
