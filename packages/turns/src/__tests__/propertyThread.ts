import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/** Runs a module of this folder in a worker thread; resolves with the message that it posts. */
export async function runInThread<Task, Result>(name: string, task: Task): Promise<Result> {
  const { href: module } = new URL(name, import.meta.url);
  const loader = new URL('./typescriptWorker.mjs', import.meta.url);
  const worker = new Worker(loader, { workerData: { ...task, module } });
  const [result] = await once(worker, 'message');
  await worker.terminate();
  return result as Result;
}
