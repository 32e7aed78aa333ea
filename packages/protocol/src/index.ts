/** Messages, client and server of the protocol between marjorampin's processes. */
export * from './gen/peer_pb';
export * from './grantingKeepers';
export * from './peerChannel';
export * from './peerClient';
export * from './peerPool';
export * from './peerServer';
export * from './tlsFiles';
