/** Stand-ins for the systems outside: model engines, plain services, the platform. */
export * from './engineModel';
export * from './engineStandin';
export * from './httpStandin';
export * from './linkProxy';
export * from './platformStandin';
export * from './prefixCache';
export * from './propertyRuns';
export * from './scheduledClock';
export * from './serviceStandin';
