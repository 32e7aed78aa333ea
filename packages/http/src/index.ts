/** HTTP client whose answers are bounded and checked for completeness. */
export * from './answerFraming';
export * from './answerText';
export * from './byteAccount';
export * from './limits';
export * from './sendRequest';
