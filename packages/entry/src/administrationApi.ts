import {
  type ConfigurationView,
  ConfigurationWriter,
  contractSchema,
  serviceSchema,
} from '@marjorampin/configuration';
import type { EventLog } from '@marjorampin/logging';
import type { BurnRecorder, ProcessBurn } from '@marjorampin/metrics';
import type { KeyValueStore, StoreError } from '@marjorampin/store';
import { CallError, digestOf, toCallError } from '@marjorampin/types';
import type { H3, H3Event } from 'h3';
import * as z from 'zod';
import { problemResponse } from './problemDetails';
import { readJson } from './readJson';

const contractChange = z.strictObject({
  contract: contractSchema,
  expectedRevision: z.number().int().nonnegative().optional(),
});

const servicesChange = z.strictObject({ services: z.array(serviceSchema) });

/** What the operators' API needs. */
export interface AdministrationApiOptions {
  store: KeyValueStore;
  configuration: ConfigurationView;
  operatorKeyDigests: string[];
  log: EventLog;
  /** Describes this process. */
  status(): unknown;
  /** Counts good and bad calls of each customer. */
  burn: BurnRecorder;
}

/** The HTTP API for operators. */
export class AdministrationApi {
  private readonly options: AdministrationApiOptions;

  private readonly writer: ConfigurationWriter;

  constructor(options: AdministrationApiOptions) {
    this.options = options;
    this.writer = new ConfigurationWriter({ store: options.store });
  }

  /** Adds the routes. */
  addRoutes(app: H3): void {
    app.get('/admin/v1/status', (event) => this.guard(event, async () => this.options.status()));
    app.get('/admin/v1/burn', (event) => this.guard(event, async () => this.readBurn()));
    app.get('/admin/v1/contracts/:customer', (event) =>
      this.guard(event, () => this.readContract(event)),
    );
    app.put('/admin/v1/contracts/:customer', (event) =>
      this.guard(event, () => this.writeContract(event)),
    );
    app.put('/admin/v1/services', (event) => this.guard(event, () => this.writeServices(event)));
  }

  private async guard(event: H3Event, run: () => Promise<unknown>): Promise<Response> {
    try {
      this.authenticate(event);
      return Response.json(await run());
    } catch (thrown) {
      return problemResponse(toCallError(thrown));
    }
  }

  private authenticate(event: H3Event): void {
    const header = event.req.headers.get('authorization') ?? '';
    const key = /^Bearer (\S{1,256})$/.exec(header)?.[1] ?? '';
    if (this.options.operatorKeyDigests.includes(digestOf(key))) return;
    const message = 'the operator key is missing or unknown; send "authorization: Bearer KEY"';
    throw new CallError({ kind: 'unauthenticated', message });
  }

  private readBurn(): ProcessBurn {
    const { burn, configuration } = this.options;
    return { counts: burn.counts(Date.now()), objectives: configuration.objectives() };
  }

  private async readContract(event: H3Event): Promise<unknown> {
    const customer = event.context.params?.customer ?? '';
    const read = await this.writer.readContract(customer);
    if (read.err) throw storeProblem(read.val);
    if (read.val.contract) return read.val;
    const message = `there is no contract for "${customer}"; apply one first`;
    throw new CallError({ kind: 'unknown-contract', message });
  }

  private async writeContract(event: H3Event): Promise<unknown> {
    const change = parse(contractChange, await readJson(event.req));
    const { customer } = change.contract;
    if (event.context.params?.customer !== customer) {
      const message = 'the path and the contract name different customers; make them the same';
      throw new CallError({ kind: 'invalid-request', message });
    }
    const written = await this.writer.writeContract(change);
    if (written.err) throw storeProblem(written.val);
    this.options.log.write('contractChanged', { customer, revision: written.val });
    return { customer, revision: written.val };
  }

  private async writeServices(event: H3Event): Promise<unknown> {
    const { services } = parse(servicesChange, await readJson(event.req));
    const written = await this.writer.writeServices(services);
    if (written.err) throw storeProblem(written.val);
    return { revision: written.val };
  }
}

function parse<Schema extends z.ZodType>(schema: Schema, json: unknown): z.infer<Schema> {
  const parsed = schema.safeParse(json);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const message = `"${issue?.path.join('.')}" is wrong: ${issue?.message}; correct it and apply again`;
  throw new CallError({ kind: 'invalid-request', message });
}

function storeProblem({ kind, message }: StoreError): CallError {
  if (kind === 'conflict') return new CallError({ kind: 'out-of-turn', message });
  const execution = kind === 'ambiguous' ? 'unknown' : 'not-run';
  const retryAfterMs = 1_000;
  return new CallError({ kind: 'platform-unavailable', message, execution, retryAfterMs });
}
