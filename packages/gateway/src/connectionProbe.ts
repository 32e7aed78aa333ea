import net from 'node:net';
import type { PeerAddress } from '@marjorampin/types';

/** Result of an attempt to connect; `unknown` if the host did not reply in time. */
export type ProbeResult = 'accepted' | 'refused' | 'unknown';

const REFUSED = 'ECONNREFUSED';

/** Connects to an address and closes the connection again; sends no data. */
export function probeConnection(address: PeerAddress, timeoutMs: number): Promise<ProbeResult> {
  return new Promise((resolve) => {
    const socket = net.connect(address);
    const finish = (result: ProbeResult) => {
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(timeoutMs, () => finish('unknown'));
    socket.once('connect', () => finish('accepted'));
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      finish(code === REFUSED ? 'refused' : 'unknown');
    });
  });
}
