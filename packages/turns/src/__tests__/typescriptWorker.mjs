/** Loads a TypeScript module in a worker thread, which does not inherit the loader. */
import { workerData } from 'node:worker_threads';
import { register } from 'tsx/esm/api';

register();
await import(workerData.module);
