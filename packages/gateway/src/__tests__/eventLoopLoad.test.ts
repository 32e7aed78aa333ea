import assert from 'node:assert/strict';
import test from 'node:test';
import { EventLoopLoad } from '../eventLoopLoad';

const CASES = [
  { name: 'no sample is no load', activeMs: [], idleMs: [], utilization: 0 },
  { name: 'a single sample is no load', activeMs: [80], idleMs: [20], utilization: 0 },
  { name: 'an idle loop', activeMs: [0, 0, 0], idleMs: [100, 100, 100], utilization: 0 },
  { name: 'a busy loop', activeMs: [100, 100, 100], idleMs: [0, 0, 0], utilization: 1 },
  { name: 'equal parts', activeMs: [0, 30, 70], idleMs: [0, 70, 30], utilization: 0.5 },
  {
    name: 'only the last half second counts',
    activeMs: [100, 100, 100, 100, 10, 10, 10, 10, 10],
    idleMs: [0, 0, 0, 0, 90, 90, 90, 90, 90],
    utilization: 0.1,
  },
  {
    name: 'a pause longer than the window counts in full',
    activeMs: [10, 10, 3_000],
    idleMs: [90, 90, 0],
    utilization: 1,
  },
  { name: 'samples at the same time', activeMs: [50, 0, 0], idleMs: [50, 0, 0], utilization: 0 },
];

CASES.forEach(({ name, activeMs, idleMs, utilization }) => {
  test(`event loop load: ${name}`, () => {
    const times = { active: 0, idle: 0 };
    const load = new EventLoopLoad({ sample: () => ({ ...times }) });
    activeMs.forEach((active: number, index) => {
      times.active += active;
      times.idle += idleMs[index]!;
      load.update();
    });
    assert.ok(Math.abs(load.utilization - utilization) < 1e-9, String(load.utilization));
  });
});
