/** Numbered events and where they are written. */
export * from './eventLog';
export * from './events';
