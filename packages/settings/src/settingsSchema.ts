import { parsePeerAddress } from '@marjorampin/types';
import * as z from 'zod';

const address = z
  .string()
  .refine(
    (text) => parsePeerAddress(text) !== undefined,
    'use an IP number and a port, such as "127.0.0.1:7400"',
  );

const url = z.string().regex(/^https?:\/\/\S+$/, 'use a URL such as "http://127.0.0.1:7300"');

const name = z.string().regex(/^[a-z0-9-]{1,64}$/, 'use 1 to 64 lower-case letters, digits or "-"');

const path = z.string().min(1, 'use the path of a file or folder');

const tlsSchema = z.strictObject({
  peers: z.strictObject({ certificate: path, key: path, authority: path }).optional(),
  callers: z.strictObject({ certificate: path, key: path }).optional(),
});

const common = {
  id: name,
  /** Failure domain of the host. */
  domain: name,
  platform: z.strictObject({ url }),
  tls: tlsSchema.default({}),
};

/** Settings of an entry. */
export const entrySettingsSchema = z.strictObject({
  ...common,
  role: z.literal('entry'),
  entry: z.strictObject({
    callerAddress: address,
    peerAddress: address,
    dataFolder: path.optional(),
    operatorKeyDigests: z
      .array(z.string().regex(/^[0-9a-f]{64}$/, 'use the hex SHA-256 digest of the key'))
      .default([]),
  }),
});

/** Settings of an agent. */
export const agentSettingsSchema = z.strictObject({
  ...common,
  role: z.literal('agent'),
  agent: z.strictObject({
    service: name,
    kind: z.enum(['model', 'plain']),
    endpointUrl: url,
    address,
  }),
});

/** Settings of any process. */
export const settingsSchema = z.discriminatedUnion('role', [
  entrySettingsSchema,
  agentSettingsSchema,
]);

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
export type Settings = z.infer<typeof settingsSchema>;
