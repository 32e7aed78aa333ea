/** Routes of calls, state of endpoints, and the choice of an endpoint for each call. */
export * from './admission';
export * from './chooseEndpoint';
export * from './endpointDirectory';
export * from './observedRateLimit';
export * from './permitSchedule';
export * from './refusal';
export * from './route';
export * from './routeTable';
