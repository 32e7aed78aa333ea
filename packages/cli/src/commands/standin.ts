import {
  EngineStandin,
  type EngineStandinOptions,
  KeyValueStoreStandin,
  ServiceStandin,
} from '@marjorampin/standins';
import { formatPeerAddress, parseListeningAddress } from '@marjorampin/types';
import { waitForStopSignal } from './waitForStopSignal';

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
      return new KeyValueStoreStandin();
    default:
      throw new Error(`"${system}" is not a stand-in; use engine, service or platform`);
  }
}

/** Runs a stand-in until SIGTERM or SIGINT. */
export async function runStandin(system: string, options: StandinOptions): Promise<void> {
  const { address, decodeStepMs, prefillTokensPerMs, batchSize, cacheTokens } = options;
  const engineOptions = { decodeStepMs, prefillTokensPerMs, batchSize, cacheTokens };
  const definedOptions = Object.entries(engineOptions).filter(([, value]) => value !== undefined);
  const parsed = parseListeningAddress(address);
  if (!parsed) throw new Error(`--address "${address}" is invalid; use IP:PORT`);
  const standin = createStandin(system, Object.fromEntries(definedOptions));
  const bound = await standin.listen(parsed);
  console.log(`${system} listens on http://${formatPeerAddress(bound)}`);
  await waitForStopSignal();
  await standin.close();
}
