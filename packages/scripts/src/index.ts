/** Programs written as lists of steps, and what plays them. */
export * from './playProgram';
export * from './programScript';
