/** Which endpoint gets a call. */
export * from './admission';
export * from './chooseEndpoint';
export * from './endpointDirectory';
export * from './route';
export * from './routeTable';
