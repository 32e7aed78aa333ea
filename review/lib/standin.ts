/* eslint-disable @stylistic/max-len, no-restricted-syntax -- Relaxed for the sources of the repository as well, or left to prettier. */
/** Base of the stand-ins that are HTTP servers. */
import http from 'node:http';

/** An HTTP server on a loopback address. */
export abstract class Standin {
  private server: http.Server | undefined;

  /** Starts listening; port 0 selects a free one. Resolves with the port. */
  async listen(host: string, port: number): Promise<number> {
    const server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 10_000;
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    return (server.address() as { port: number }).port;
  }

  /** Whether it accepts connections. */
  get isListening(): boolean {
    return this.server !== undefined;
  }

  /** Stops listening and resets all connections, as at a crash. */
  async close(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    if (!server) return;
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    server.closeAllConnections();
    await closed;
  }

  protected abstract serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void>;
}

/** Reads a whole body. */
export async function readBody(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

/** Resolves after some milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
