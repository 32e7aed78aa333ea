/** Numbered events and where they are written. */
export * from './eventCatalogue';
export * from './eventLog';
export * from './events';
export * from './lineBuffer';
export * from './sampledEventLog';
