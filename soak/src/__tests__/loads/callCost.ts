/** Prints the processor time of an entry per ordinary call, and the throughput:
 * `node --import tsx soak/src/__tests__/loads/callCost.ts`. */
import { readFileSync } from 'node:fs';
import http from 'node:http';
import { LoadedHosts } from './loadedHosts';

const CALLS = 12_000;
const WARM_UP_CALLS = 6_000;
const CONCURRENT_CALLS = 8;
const ROUNDS = 3;
const MS_PER_TICK = 10;
const BODY = 'x'.repeat(2_000);

/** Processor time of a process in milliseconds. */
function cpuMs(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK;
}

async function sendCalls(hosts: LoadedHosts, count: number): Promise<void> {
  const agent = new http.Agent({ keepAlive: true });
  let left = count;
  const caller = async () => {
    while (left > 0) {
      left -= 1;
      await hosts.call(BODY, false, agent);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLS }, caller));
  agent.destroy();
}

async function main(): Promise<void> {
  const hosts = new LoadedHosts();
  await hosts.start();
  const pid = hosts.pidOf('callers') ?? 0;
  await sendCalls(hosts, WARM_UP_CALLS);
  for (let round = 0; round < ROUNDS; round += 1) {
    const startCpuMs = cpuMs(pid);
    const startMs = performance.now();
    await sendCalls(hosts, CALLS);
    const perCallUs = ((cpuMs(pid) - startCpuMs) * 1_000) / CALLS;
    const perSecond = (CALLS * 1_000) / (performance.now() - startMs);
    console.log(`${perCallUs.toFixed(1)} us per call, ${perSecond.toFixed(0)} calls per second`);
  }
  await hosts.stop();
}

main();
