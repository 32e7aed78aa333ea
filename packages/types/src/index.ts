/** Types shared by all packages. */
export * from './account';
export * from './callError';
export * from './clock';
export * from './contract';
export * from './epochFence';
export * from './instant';
export * from './parseJson';
export * from './peerAddress';
export * from './program';
export * from './result';
export * from './tokens';
export * from './turn';
