import { Agent } from '@marjorampin/agent';
import { Entry } from '@marjorampin/entry';
import { BunyanEventLog } from '@marjorampin/logging';
import { Metrics } from '@marjorampin/metrics';
import { HttpKeyValueStore } from '@marjorampin/store';
import { agentSettingsSchema, entrySettingsSchema, readToml } from '@marjorampin/settings';
import { parseListeningAddress, type PeerAddress, SystemClock } from '@marjorampin/types';
import { requireOption } from './requireOption';
import { waitForStopSignal } from './waitForStopSignal';

interface ProcessOptions {
  settings?: string;
}

/** Runs an entry until SIGTERM or SIGINT, then stops it gracefully. */
export async function runEntry({ settings: file }: ProcessOptions): Promise<void> {
  const settings = readToml(requireOption(file, 'settings'), entrySettingsSchema);
  if (settings.err) throw settings.val;
  const { id, domain, platform, tls, entry: entrySettings } = settings.val;
  const entry = new Entry({
    id,
    domain,
    callerAddress: parseAddress(entrySettings.callerAddress),
    peerAddress: parseAddress(entrySettings.peerAddress),
    store: new HttpKeyValueStore(platform),
    clock: new SystemClock(),
    log: new BunyanEventLog({ process: id }),
    metrics: new Metrics(),
    operatorKeyDigests: entrySettings.operatorKeyDigests,
    dataFolder: entrySettings.dataFolder,
    peerTls: tls.peers,
    callerTls: tls.callers,
  });
  await entry.start();
  await waitForStopSignal();
  await entry.stop();
  process.exit();
}

/** Runs an agent until SIGTERM or SIGINT, then stops it gracefully. */
export async function runAgent({ settings: file }: ProcessOptions): Promise<void> {
  const settings = readToml(requireOption(file, 'settings'), agentSettingsSchema);
  if (settings.err) throw settings.val;
  const { id, domain, platform, tls, agent: agentSettings } = settings.val;
  const agent = new Agent({
    id,
    domain,
    service: { name: agentSettings.service, kind: agentSettings.kind },
    endpointUrl: agentSettings.endpointUrl,
    address: parseAddress(agentSettings.address),
    store: new HttpKeyValueStore(platform),
    clock: new SystemClock(),
    log: new BunyanEventLog({ process: id }),
    tls: tls.peers,
  });
  await agent.start();
  await waitForStopSignal();
  await agent.stop();
  process.exit();
}

/** Parses `IP:port`; the settings schema rejects other text, so the fallback is never used. */
function parseAddress(text: string): PeerAddress {
  return parseListeningAddress(text) ?? { host: '127.0.0.1', port: 0 };
}
