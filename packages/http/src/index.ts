/** HTTP client whose answers are bounded and checked for completeness, and limits of HTTP servers. */
export * from './answerFraming';
export * from './answerText';
export * from './byteAccount';
export * from './connectionLimit';
export * from './growingBuffer';
export * from './limits';
export * from './pipelineLimit';
export * from './sendRequest';
export * from './serveLimited';
