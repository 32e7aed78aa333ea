/** Returns the value of an option; throws if it is missing. */
export function requireOption<Value>(value: Value | undefined, name: string): Value {
  if (value !== undefined) return value;
  throw new Error(`the option --${name} is required; pass it with a value`);
}

/** Returns the operator key from the option or the environment; throws if it is missing. */
export function requireOperatorKey(key: string | undefined): string {
  const found = key ?? process.env.MARJORAMPIN_OPERATOR_KEY;
  if (found) return found;
  throw new Error('the operator key is missing; use --key or set MARJORAMPIN_OPERATOR_KEY');
}
