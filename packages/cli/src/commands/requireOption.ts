/** Returns an option's value, or throws with the way to give it. */
export function requireOption<Value>(value: Value | undefined, name: string): Value {
  if (value !== undefined) return value;
  throw new Error(`the option --${name} is missing; give it a value`);
}

/** Returns the operator's key from the option or the environment. */
export function operatorKey(key: string | undefined): string {
  const found = key ?? process.env.MARJORAMPIN_OPERATOR_KEY;
  if (found) return found;
  throw new Error('the operator key is missing; use --key or set MARJORAMPIN_OPERATOR_KEY');
}
