/** The protocol between marjorampin's own processes. */
export * from './gen/peer_pb';
export * from './peerChannel';
export * from './peerClient';
export * from './peerPool';
export * from './peerServer';
export * from './tlsFiles';
