/** Placement of callers' connections on the entries of a failure domain. */
export * from './loadExchange';
export * from './loadTable';
export * from './placeConnection';
export * from './smoothedValue';
