import assert from 'node:assert/strict';
import test from 'node:test';
import { ManualClock } from '@marjorampin/types';
import { LoopLag } from '../loopLag';

const CASES = [
  {
    name: 'an idle loop sheds nothing',
    samples: Array(40).fill(1),
    isHigh: false,
    shedsFrom: 0,
    shedsTo: 0,
  },
  {
    name: 'a single long lag sheds nothing',
    samples: [200],
    isHigh: false,
    shedsFrom: 0,
    shedsTo: 0,
  },
  {
    name: 'a lag of 180 ms, as on a host that runs five times slower, sheds most requests',
    samples: Array(40).fill(180),
    isHigh: true,
    shedsFrom: 0.5,
    shedsTo: 0.8,
  },
  {
    name: 'a host that is nearly stalled sheds all requests',
    samples: Array(40).fill(900),
    isHigh: true,
    shedsFrom: 1,
    shedsTo: 1,
  },
  {
    name: 'a host that recovered sheds nothing',
    samples: [...Array(40).fill(900), ...Array(20).fill(1)],
    isHigh: false,
    shedsFrom: 0,
    shedsTo: 0,
  },
];

CASES.forEach(({ name, samples, isHigh, shedsFrom, shedsTo }) => {
  test(`loop lag: ${name}`, () => {
    const lag = new LoopLag({ clock: new ManualClock() });
    samples.forEach((sample: number) => lag.addSample(sample));
    assert.equal(lag.isHigh, isHigh);
    assert.ok(lag.shedShare >= shedsFrom && lag.shedShare <= shedsTo, String(lag.shedShare));
  });
});
