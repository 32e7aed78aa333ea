/**
 * Stand-ins for external systems (model engines, plain services, the platform's store and network
 * links) and helpers for property tests.
 */
export * from './simulatedEngine';
export * from './engineStandin';
export * from './httpStandin';
export * from './linkProxy';
export * from './keyValueStoreStandin';
export * from './permitKeepersStandin';
export * from './prefixCache';
export * from './propertyParameters';
export * from './rawStandin';
export * from './scheduledClock';
export * from './serviceStandin';
