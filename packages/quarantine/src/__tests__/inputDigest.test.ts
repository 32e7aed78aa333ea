import assert from 'node:assert/strict';
import test from 'node:test';
import { inputDigest, type RequestInput, targetDigest } from '@marjorampin/quarantine';

const INPUT: RequestInput = {
  host: 'app.example',
  method: 'POST',
  target: '/path/1?q=1',
  body: Buffer.from('body'),
};

const CASES: { name: string; changed: Partial<RequestInput>; isSame: boolean }[] = [
  { name: 'the same input', changed: {}, isSame: true },
  { name: 'a host in another case', changed: { host: 'App.Example' }, isSame: true },
  { name: 'another host', changed: { host: 'b.example' }, isSame: false },
  { name: 'another method', changed: { method: 'PUT' }, isSame: false },
  { name: 'another query', changed: { target: '/path/1?q=2' }, isSame: false },
  { name: 'another body', changed: { body: Buffer.from('bodz') }, isSame: false },
  {
    name: 'text moved from the target to the body',
    changed: { target: '/path/1?q=', body: Buffer.from('1body') },
    isSame: false,
  },
];

CASES.forEach(({ name, changed, isSame }) => {
  test(`${name} has ${isSame ? 'the same' : 'another'} digest`, () => {
    const digest = inputDigest({ ...INPUT, ...changed });
    assert.equal(digest === inputDigest(INPUT), isSame);
    assert.match(digest, /^[0-9a-f]{32}$/);
  });
});

test('a target has other digests for other bodies, or that of an input without a body', () => {
  const other = { ...INPUT, body: Buffer.alloc(0) };
  assert.equal(targetDigest(INPUT), targetDigest(other));
  assert.notEqual(targetDigest(other), inputDigest(other));
});
