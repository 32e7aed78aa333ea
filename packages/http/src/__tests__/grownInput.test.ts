import assert from 'node:assert/strict';
import test from 'node:test';
import { ByteAccount } from '../byteAccount';

test('a protected input that grows to a long chain leaves the answers of other calls', () => {
  const account = new ByteAccount({ limitBytes: 100 });
  const broken: string[] = [];
  const answers = ['a', 'b', 'c'].map((name) => {
    const answer = account.open({ kind: 'answer', breakOff: () => broken.push(name) });
    answer.resize(5);
    return answer;
  });
  const input = account.open({ kind: 'input', breakOff: () => broken.push('input') });
  input.resize(1);
  assert.ok(input.protect());
  // `TurnForwarder.forward` adds the turns that this one continues.
  input.resize(101);
  answers.forEach((answer) => answer.close());
  assert.deepEqual(broken, []);
});
