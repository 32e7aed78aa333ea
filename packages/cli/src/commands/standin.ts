import {
  EngineStandin,
  type EngineStandinOptions,
  PlatformStandin,
  ServiceStandin,
} from '@marjorampin/standins';
import { parsePeerAddress } from '@marjorampin/types';
import { untilStopped } from './untilStopped';

interface StandinOptions {
  address: string;
  decodeStepMs?: number;
  prefillTokensPerMs?: number;
  batchSize?: number;
  cacheTokens?: number;
}

function createStandin(system: string, options: EngineStandinOptions) {
  switch (system) {
    case 'engine':
      return new EngineStandin(options);
    case 'service':
      return new ServiceStandin();
    case 'platform':
      return new PlatformStandin();
    default:
      throw new Error(`"${system}" is no stand-in; use engine, service or platform`);
  }
}

/** Runs a stand-in until a signal. */
export async function runStandin(system: string, options: StandinOptions): Promise<void> {
  const { address, decodeStepMs, prefillTokensPerMs, batchSize, cacheTokens } = options;
  const speed = { decodeStepMs, prefillTokensPerMs, batchSize, cacheTokens };
  const given = Object.entries(speed).filter(([, value]) => value !== undefined);
  const parsed = parsePeerAddress(address);
  if (!parsed) throw new Error(`--address "${address}" is wrong; use an IP number and a port`);
  const standin = createStandin(system, Object.fromEntries(given));
  const { host, port } = await standin.listen(parsed);
  console.log(`${system} listens on http://${host}:${port}`);
  await untilStopped();
  await standin.close();
}
