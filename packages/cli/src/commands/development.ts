import { configurationFileSchema } from '@marjorampin/configuration';
import { DevelopmentCluster } from '@marjorampin/development';
import { BunyanEventLog } from '@marjorampin/logging';
import { readToml } from '@marjorampin/settings';
import { requireOption } from './requireOption';
import { waitForStopSignal } from './waitForStopSignal';

interface DevelopmentOptions {
  configuration?: string;
  entries: number;
  endpoints: number;
}

/** Runs entries, agents and stand-ins in this process until SIGTERM or SIGINT. */
export async function runDevelopment(options: DevelopmentOptions): Promise<void> {
  const file = requireOption(options.configuration, 'configuration');
  const configuration = readToml(file, configurationFileSchema);
  if (configuration.err) throw configuration.val;
  const cluster = new DevelopmentCluster({
    configuration: configuration.val,
    entryCount: Number(options.entries),
    endpointCount: Number(options.endpoints),
    log: new BunyanEventLog({ process: 'dev' }),
  });
  await cluster.start();
  cluster.urls.forEach((url) => console.log(`entry for callers: ${url}`));
  await waitForStopSignal();
  await cluster.close();
  process.exit();
}
