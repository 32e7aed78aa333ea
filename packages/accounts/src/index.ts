/** Client accounts: their keys, and which requests they may send. */
export * from './accountLabels';
export * from './accountRefusal';
export * from './accountTable';
export * from './authorize';
export * from './credential';
export * from './keyDigests';
export * from './revocationBounds';
