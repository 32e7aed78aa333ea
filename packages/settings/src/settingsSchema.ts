import { parseListeningAddress } from '@marjorampin/types';
import * as z from 'zod';

const address = z
  .string()
  .refine(
    (text) => parseListeningAddress(text) !== undefined,
    'use an IP address and a port, such as "127.0.0.1:7400"',
  );

const url = z.string().regex(/^https?:\/\/\S+$/, 'use a URL such as "http://127.0.0.1:7300"');

const name = z.string().regex(/^[a-z0-9-]{1,64}$/, 'use 1 to 64 lower-case letters, digits or "-"');

const path = z.string().min(1, 'use the path of a file or folder');

/** PEM files for connections between peers (mutual TLS) and from callers; plain HTTP if absent. */
const tlsSchema = z.strictObject({
  peers: z.strictObject({ certificate: path, key: path, authority: path }).optional(),
  callers: z.strictObject({ certificate: path, key: path }).optional(),
});

const commonFields = {
  /** Id of the process, unique in the cluster. */
  id: name,
  /** Failure domain of the host. */
  domain: name,
  /** URL of the platform's key-value store. */
  platform: z.strictObject({ url }),
  tls: tlsSchema.default({}),
};

/** Settings of an entry, which serves callers and other processes. */
export const entrySettingsSchema = z.strictObject({
  ...commonFields,
  role: z.literal('entry'),
  entry: z.strictObject({
    /** Listening address for callers, `IP:port`. */
    callerAddress: address,
    /** Listening address for peers, `IP:port`. */
    peerAddress: address,
    /** Folder of the stored turns; they are stored in memory if absent. */
    dataFolder: path.optional(),
    /** Hex SHA-256 digests of the keys that authenticate operators. */
    operatorKeyDigests: z
      .array(z.string().regex(/^[0-9a-f]{64}$/, 'use the hex SHA-256 digest of the key'))
      .default([]),
  }),
});

/** Settings of an agent, which runs beside one endpoint. */
export const agentSettingsSchema = z.strictObject({
  ...commonFields,
  role: z.literal('agent'),
  agent: z.strictObject({
    /** Name of the service that the endpoint provides. */
    service: name,
    kind: z.enum(['model', 'plain']),
    endpointUrl: url,
    /** Listening address for peers, `IP:port`. */
    address,
  }),
});

/** Settings of any process; `role` determines the schema. */
export const settingsSchema = z.discriminatedUnion('role', [
  entrySettingsSchema,
  agentSettingsSchema,
]);

/** Validated settings of an entry. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Validated settings of an agent. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
/** Validated settings of any process. */
export type Settings = z.infer<typeof settingsSchema>;
