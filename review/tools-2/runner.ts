/* eslint-disable @stylistic/object-curly-newline, @stylistic/max-len -- formatted by Prettier */
/* eslint-disable no-await-in-loop, no-restricted-syntax, @typescript-eslint/no-use-before-define -- as in packages/, platform/ and soak/ */
/** Stand-in for a runner: a model engine that streams events, or a plain service. */
import http from 'node:http';

export interface RunnerOptions {
  id: string;
  slots: number;
  /** Time of one event of a stream, and of a plain request. */
  stepMs: number;
  workMs: number;
  /** Is told of each request that begins to run. */
  onRun?: (run: { runner: string; id: string; path: string; bytes: number; body: Buffer }) => void;
  /** Number of events of a stream, by its request. */
  eventsOf?: (request: http.IncomingMessage) => number;
}

export const EVENT_TOKENS = 11;

/** Data of one event of a run. */
export function eventData(id: string, index: number): string {
  return `${id} ${index} ${'w'.repeat(40)}`;
}

export class Runner {
  readonly options: RunnerOptions;

  private running = 0;

  private readonly server = http.createServer((request, response) => {
    this.serve(request, response).catch(() => response.destroy());
  });

  constructor(options: RunnerOptions) {
    this.options = options;
    this.server.keepAliveTimeout = 15_000;
  }

  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { id, slots, stepMs, workMs, onRun, eventsOf = () => 7 } = this.options;
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const load = { 'Marjorampin-Server-Load': `${this.running},0,${slots}` };
    if (request.url === '/health') {
      response.writeHead(200, { 'Marjorampin-Instance-Id': id, ...load }).end();
      return;
    }
    const requestId = String(request.headers['marjorampin-request-id'] ?? '');
    const notRun = { 'Marjorampin-Not-Executed': '1', 'Marjorampin-Request-Id': requestId };
    const expected = request.headers['marjorampin-expect-instance'];
    if (requestId === '' || (expected !== undefined && expected !== id)) {
      response.writeHead(requestId === '' ? 400 : 421, notRun).end();
      return;
    }
    if (this.running >= slots) {
      response.writeHead(503, { ...notRun, ...load }).end();
      return;
    }
    this.running += 1;
    const body = Buffer.concat(chunks);
    onRun?.({ runner: id, id: requestId, path: request.url ?? '', bytes: body.length, body });
    const headers = {
      'Marjorampin-Request-Id': requestId,
      'Marjorampin-Response-Seal': `${id}.${requestId}`,
      ...load,
    };
    try {
      if (request.headers['marjorampin-token-count'] === undefined) {
        await pause(workMs);
        if (!response.destroyed) response.writeHead(200, headers).end(`done ${requestId}\n`);
        return;
      }
      const events = eventsOf(request);
      for (let index = 0; index < events && !response.destroyed; index += 1) {
        await pause(stepMs);
        if (!response.headersSent) {
          response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
        }
        response.write(`id: ${index + 1}\ndata: ${eventData(requestId, index + 1)}\n\n`);
      }
      response.end();
    } finally {
      this.running -= 1;
    }
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
