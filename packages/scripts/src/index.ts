/** Scripted programs: the schema of their scripts and a function that plays them. */
export * from './playProgram';
export * from './programScript';
