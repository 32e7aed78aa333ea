/** HTTP client whose answers are bounded and checked for completeness. */
export * from './answerText';
export * from './sendRequest';
