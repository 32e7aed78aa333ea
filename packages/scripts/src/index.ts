/** Scripted programs: the schema of their scripts and a function that runs them. */
export * from './runProgram';
export * from './programScript';
