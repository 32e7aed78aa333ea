/** Values that another writer left among those of this system (docs/design/reported-failures.md). */
import assert from 'node:assert/strict';
import test from 'node:test';
import { MemoryKeyValueStore } from '@marjorampin/store';
import { SystemClock } from '@marjorampin/types';
import { memberKey } from '../member';
import { MemberDirectory } from '../memberDirectory';
import { pageKey, PARTITIONS_PER_PAGE } from '../partitionPage';
import { PartitionTable } from '../partitionTable';

const TIMEOUT = { timeout: 20_000 };
const NESTING = 400_000;
const NESTED = `${'['.repeat(NESTING)}${']'.repeat(NESTING)}`;

const clock = new SystemClock();

const memberOf = (id: string) => ({
  id,
  address: '127.0.0.1:7400',
  domain: 'd',
  incarnation: '1',
  leaving: false,
});

/** Text of a member with one field replaced by other text. */
const memberWith = (field: string, text: string) =>
  `${JSON.stringify({ ...memberOf('odd'), [field]: undefined }).slice(0, -1)},"${field}":${text}}`;

const ODD_TEXTS = [
  '',
  '{"id":',
  'null',
  '[]',
  '1e999',
  '"text"',
  '{}',
  NESTED,
  '['.repeat(NESTING),
];

const ODD_MEMBERS = [
  ...ODD_TEXTS,
  memberWith('id', '"other"'),
  memberWith('address', '"127.0.0.1:99999"'),
  memberWith('address', '"127.0.0.1:0"'),
  memberWith('address', NESTED),
  memberWith('domain', '1e999'),
  memberWith('incarnation', '9007199254740993'),
  memberWith('leaving', '"no"'),
];

const store = () => new MemoryKeyValueStore();

const put = async (target: MemoryKeyValueStore, key: string, value: string) => {
  const expectedVersion = (await target.get(key)).unwrap()?.version ?? 0;
  (await target.compareAndSwap({ key, value, expectedVersion })).unwrap();
};

ODD_MEMBERS.forEach((value) => {
  test(
    `members: ${value.slice(0, 120)} is no member, and changes are still followed`,
    TIMEOUT,
    async () => {
      const values = store();
      await put(values, memberKey('odd'), value);
      await put(values, memberKey('a'), JSON.stringify(memberOf('a')));
      const members = new MemberDirectory({ store: values, clock });
      try {
        await members.start();
        assert.deepEqual(members.eligible(), ['a']);
        await put(values, memberKey('odd'), `${value} `);
        await put(values, memberKey('b'), JSON.stringify(memberOf('b')));
        while (!members.get('b')) await clock.sleep(5);
        assert.deepEqual(members.eligible().sort(), ['a', 'b']);
        assert.equal(await members.remove('odd', '1'), false);
        await members.register(memberOf('odd'));
        while (!members.get('odd')) await clock.sleep(5);
      } finally {
        members.stop();
      }
    },
  );
});

const pageOf = (epoch: unknown) =>
  JSON.stringify({
    assignments: Array.from({ length: PARTITIONS_PER_PAGE }, () => ({ owner: 'x', epoch })),
  });

const ODD_PAGES = [
  ...ODD_TEXTS,
  '{"assignments":[]}',
  pageOf(1.5),
  pageOf(-1),
  pageOf('1'),
  pageOf(12345).replaceAll('12345', '1e999'),
  pageOf(12345).replaceAll('12345', '9007199254740993'),
];

ODD_PAGES.forEach((value) => {
  test(
    `partitions: ${value.slice(0, 120)} is no page, and the known one is written again`,
    TIMEOUT,
    async () => {
      const values = store();
      const table = new PartitionTable({ store: values, clock });
      try {
        await table.start();
        const first = { partition: 0, expectedEpoch: 0, owner: 'a' };
        assert.deepEqual((await table.reassign([first])).unwrap(), [first]);
        await put(values, pageKey(0), value);
        await put(values, pageKey(99), pageOf(7));
        const second = { partition: 1, expectedEpoch: 0, owner: 'b' };
        assert.deepEqual((await table.reassign([second])).unwrap(), [second]);
        assert.deepEqual(table.assignmentOf(0), { owner: 'a', epoch: 1 });
        const other = new PartitionTable({ store: values, clock });
        await other.start();
        assert.deepEqual(other.assignmentOf(0), { owner: 'a', epoch: 1 });
        assert.deepEqual(other.assignmentOf(1), { owner: 'b', epoch: 1 });
        other.stop();
      } finally {
        table.stop();
      }
    },
  );
});
