import http from 'node:http';
import type { Duplex } from 'node:stream';

/** Keeps connections open between calls. Closes an idle connection when data arrives on it, which
 * belongs to no call. */
export class KeepAliveAgent extends http.Agent {
  constructor(options: Omit<http.AgentOptions, 'keepAlive'>) {
    super({ ...options, keepAlive: true });
  }

  /** Called by Node.js when a connection becomes idle; returns whether to keep it. */
  override keepSocketAlive(socket: Duplex): boolean {
    // The types lack the result, which the documentation describes.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) socket.on('data', closeOnData);
    return isKept;
  }

  /** Called by Node.js when an idle connection is used for another call. */
  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    socket.off('data', closeOnData);
    super.reuseSocket(socket, request);
  }
}

function closeOnData(this: Duplex): void {
  this.destroy();
}
