/** Returns about how many bytes a message takes: those of its texts and byte fields. */
export function messageBytes(value: unknown): number {
  if (typeof value === 'string') return value.length;
  if (value instanceof Uint8Array) return value.length;
  if (typeof value !== 'object' || value === null) return 0;
  const fields = Object.values(value);
  let bytes = 0;
  for (let index = 0; index < fields.length; index += 1) bytes += messageBytes(fields[index]);
  return bytes;
}
