/** Which endpoint gets a call. */
export * from './chooseEndpoint';
export * from './endpointDirectory';
