/** Numbered log events, and the logs that write them. */
export * from './eventCatalog';
export * from './eventLog';
export * from './events';
export * from './limitLog';
export * from './lineBuffer';
export * from './sampledEventLog';
