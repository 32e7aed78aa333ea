/** Placement of callers' connections on the entries of a failure domain. */
export * from './placeConnection';
export * from './smoothedValue';
