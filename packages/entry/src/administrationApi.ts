import {
  type ConfigurationView,
  ConfigurationWriter,
  contractSchema,
  serviceSchema,
} from '@marjorampin/configuration';
import type { ByteAccount } from '@marjorampin/http';
import type { EventLog } from '@marjorampin/logging';
import type { BurnRecorder, ProcessBurn } from '@marjorampin/metrics';
import type { KeyValueStore, StoreError } from '@marjorampin/store';
import { CallError, sha256Hex, toCallError } from '@marjorampin/types';
import type { H3, H3Event } from 'h3';
import * as z from 'zod';
import { problemResponse } from './problemDetails';
import { readJson } from './readJson';

const contractChangeSchema = z.strictObject({
  contract: contractSchema,
  expectedRevision: z.number().int().nonnegative().optional(),
});

const servicesChangeSchema = z.strictObject({ services: z.array(serviceSchema) });

/** Options of `AdministrationApi`. */
export interface AdministrationApiOptions {
  store: KeyValueStore;
  configuration: ConfigurationView;
  /** Hex SHA-256 digests of the accepted operator keys. */
  operatorKeyDigests: string[];
  log: EventLog;
  /** Returns the JSON body of `GET /admin/v1/status`. */
  status(): unknown;
  /** Counts each customer's good and bad calls, which `GET /admin/v1/burn` returns. */
  burn: BurnRecorder;
  /** Counts the bytes of bodies that are being read. */
  held: ByteAccount;
}

/** The operators' HTTP API; every route requires an operator key. */
export class AdministrationApi {
  private readonly options: AdministrationApiOptions;

  private readonly writer: ConfigurationWriter;

  constructor(options: AdministrationApiOptions) {
    this.options = options;
    this.writer = new ConfigurationWriter({ store: options.store });
  }

  /** Registers the API's routes. */
  addRoutes(app: H3): void {
    app.get('/admin/v1/status', (event) =>
      this.handleAuthenticated(event, async () => this.options.status()),
    );
    app.get('/admin/v1/burn', (event) =>
      this.handleAuthenticated(event, async () => this.readBurn()),
    );
    app.get('/admin/v1/contracts/:customer', (event) =>
      this.handleAuthenticated(event, () => this.readContract(event)),
    );
    app.put('/admin/v1/contracts/:customer', (event) =>
      this.handleAuthenticated(event, () => this.writeContract(event)),
    );
    app.put('/admin/v1/services', (event) =>
      this.handleAuthenticated(event, () => this.writeServices(event)),
    );
  }

  /** Authenticates a request, runs its handler and turns errors into problem responses. */
  private async handleAuthenticated(
    event: H3Event,
    handler: () => Promise<unknown>,
  ): Promise<Response> {
    try {
      this.authenticate(event);
      return Response.json(await handler());
    } catch (thrown) {
      return problemResponse(toCallError(thrown));
    }
  }

  private authenticate(event: H3Event): void {
    const header = event.req.headers.get('authorization') ?? '';
    const key = /^Bearer (\S{1,256})$/.exec(header)?.[1] ?? '';
    if (this.options.operatorKeyDigests.includes(sha256Hex(key))) return;
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
    if (read.err) throw callErrorFromStore(read.val);
    if (read.val.contract) return read.val;
    const message = `there is no contract for "${customer}"; create it with a PUT request to this path`;
    throw new CallError({ kind: 'unknown-contract', message });
  }

  private async writeContract(event: H3Event): Promise<unknown> {
    const change = parseBody(contractChangeSchema, await readJson(event.req, this.options.held));
    const { customer } = change.contract;
    if (event.context.params?.customer !== customer) {
      const message =
        'the customer in the path differs from the customer in the contract; use the same one in both';
      throw new CallError({ kind: 'invalid-request', message });
    }
    const written = await this.writer.writeContract(change);
    if (written.err) throw callErrorFromStore(written.val);
    this.options.log.write('contractChanged', { customer, revision: written.val });
    return { customer, revision: written.val };
  }

  private async writeServices(event: H3Event): Promise<unknown> {
    const { services } = parseBody(
      servicesChangeSchema,
      await readJson(event.req, this.options.held),
    );
    const written = await this.writer.writeServices(services);
    if (written.err) throw callErrorFromStore(written.val);
    return { revision: written.val };
  }
}

function parseBody<Schema extends z.ZodType>(schema: Schema, json: unknown): z.infer<Schema> {
  const parsed = schema.safeParse(json);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const message = `"${issue?.path.join('.')}" is invalid: ${issue?.message}; correct it and send the request again`;
  throw new CallError({ kind: 'invalid-request', message });
}

function callErrorFromStore({ kind, message }: StoreError): CallError {
  if (kind === 'conflict') return new CallError({ kind: 'out-of-turn', message });
  const execution = kind === 'ambiguous' ? 'unknown' : 'not-run';
  const retryAfterMs = 1_000;
  return new CallError({ kind: 'platform-unavailable', message, execution, retryAfterMs });
}
