import { EngineStandin, PlatformStandin, ServiceStandin } from '@marjorampin/standins';
import { parsePeerAddress } from '@marjorampin/types';
import { untilStopped } from './untilStopped';

const STANDINS = {
  engine: EngineStandin,
  service: ServiceStandin,
  platform: PlatformStandin,
};

/** Runs a stand-in until a signal. */
export async function runStandin(system: string, { address }: { address: string }): Promise<void> {
  const Standin = STANDINS[system as keyof typeof STANDINS];
  if (!Standin) throw new Error(`"${system}" is no stand-in; use engine, service or platform`);
  const parsed = parsePeerAddress(address);
  if (!parsed) throw new Error(`--address "${address}" is wrong; use an IP number and a port`);
  const standin = new Standin();
  const { host, port } = await standin.listen(parsed);
  console.log(`${system} listens on http://${host}:${port}`);
  await untilStopped();
  await standin.close();
}
