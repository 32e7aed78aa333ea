import { type ConfigurationFile, configurationFileSchema } from '@marjorampin/configuration';
import { sha256Hex } from '@marjorampin/types';

/** Caller key of all benchmarks. */
export const CALLER_KEY = 'bench-caller-key';

/** Returns one model service, one plain service and one contract with limits too high to matter. */
export function createBenchConfiguration(): ConfigurationFile {
  return configurationFileSchema.parse({
    services: [
      { name: 'assistant', kind: 'model' },
      { name: 'bookings', kind: 'plain', idempotentOperations: ['look-up'] },
    ],
    contracts: [
      {
        customer: 'bench',
        keyDigests: [sha256Hex(CALLER_KEY)],
        services: ['assistant', 'bookings'],
        programBudgetTokens: 1_000_000,
        limits: { concurrentPrograms: 1_000_000, callsPerSecond: 1_000_000 },
        partitions: 64,
      },
    ],
  });
}
