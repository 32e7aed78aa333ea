import { parseJson } from '@marjorampin/types';
import type * as z from 'zod';
import type { StoredValue } from './keyValueStore';

/** Decodes a value; returns undefined if `schema` rejects it. Another writer may have left any text
 * under a key, which must not end the processes that read it. */
export function decodeValue<Schema extends z.ZodType>(
  { value }: Pick<StoredValue, 'value'>,
  schema: Schema,
): z.infer<Schema> | undefined {
  const parsed = schema.safeParse(parseJson(value));
  return parsed.success ? parsed.data : undefined;
}
