import { type H3, type H3Event, readBody } from 'h3';
import { SystemClock } from '@marjorampin/types';
import { type EngineFaults, SimulatedEngine, type GenerationRequest } from './simulatedEngine';
import { RoutedStandin } from './httpStandin';

/** A command to an engine; refused if an earlier command had a higher fencing number. */
export interface EngineCommand {
  fencingNumber: number;
  model: string;
}

/** Options of `EngineStandin`; see `SimulatedEngineOptions` for those of speed and size. */
export interface EngineStandinOptions {
  prefillTokensPerMs?: number;
  decodeStepMs?: number;
  batchSize?: number;
  cacheTokens?: number;
  /** Whether commands with an outdated fencing number are refused. */
  checksFencing?: boolean;
}

type GenerationBody = Omit<GenerationRequest, 'onText'>;

/** Stand-in for a model engine over HTTP. */
export class EngineStandin extends RoutedStandin {
  readonly engine: SimulatedEngine;

  readonly commands: EngineCommand[] = [];

  private readonly checksFencing: boolean;

  private highestFencingNumber = 0;

  constructor({ checksFencing = true, ...engineOptions }: EngineStandinOptions = {}) {
    super();
    this.engine = new SimulatedEngine({ clock: new SystemClock(), ...engineOptions });
    this.checksFencing = checksFencing;
  }

  protected override addRoutes(app: H3): void {
    app.post('/generate', (event) => this.generate(event));
    app.post('/cancel', async (event) => {
      this.engine.cancel((await readBody<{ request: string }>(event))?.request ?? '');
      return { cancelled: true };
    });
    app.post('/release', async (event) => {
      this.engine.cache.release((await readBody<{ program: string }>(event))?.program ?? '');
      return { released: true };
    });
    app.get('/load', () => this.load());
    app.get('/held', () => this.engine.cache.cachedPrograms());
    app.get('/totals', () => this.engine.totals);
    app.post('/export', async (event) => {
      const program = (await readBody<{ program: string }>(event))?.program ?? '';
      return { program, blocks: this.engine.cache.exportProgram(program) };
    });
    app.post('/import', async (event) => {
      const body = await readBody<{ program: string; blocks: string[] }>(event);
      if (body) this.engine.cache.importProgram(body.program, body.blocks);
      return { imported: true };
    });
    app.post('/orders', async (event) => this.handleCommand(event));
    app.post('/faults', async (event) =>
      Object.assign(this.engine.faults, await readBody<Partial<EngineFaults>>(event)),
    );
  }

  private load() {
    const { runningCount, queuedCount, cache } = this.engine;
    return { running: runningCount, queued: queuedCount, cachedTokens: cache.usedTokens };
  }

  private async handleCommand(event: H3Event) {
    const command = await readBody<EngineCommand>(event);
    if (!command) return new Response('the request has no command', { status: 400 });
    if (this.checksFencing && command.fencingNumber < this.highestFencingNumber) {
      return new Response('the command has an outdated fencing number', { status: 409 });
    }
    this.highestFencingNumber = Math.max(this.highestFencingNumber, command.fencingNumber);
    this.commands.push(command);
    return { accepted: true };
  }

  private async generate(event: H3Event): Promise<Response> {
    const body = await readBody<GenerationBody>(event);
    if (!body) return new Response('the request has no body', { status: 400 });
    const { engine } = this;
    const encoder = new TextEncoder();
    let isOpen = true;
    const stream = new ReadableStream<Uint8Array>({
      async start(controller) {
        const send = (value: unknown) => {
          if (isOpen) controller.enqueue(encoder.encode(`data: ${JSON.stringify(value)}\n\n`));
        };
        const result = await engine.generate({ ...body, onText: (text) => send({ text }) });
        send({ result: result ?? null });
        if (isOpen) controller.close();
      },
      cancel() {
        isOpen = false;
        engine.cancel(body.request);
      },
    });
    return new Response(stream, { headers: { 'content-type': 'text/event-stream' } });
  }
}
