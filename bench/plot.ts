/** Time lines as SVG: goodput against what was offered, and the roles. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { GoodputResult } from './goodput-run.js';

const WIDTH = 760;
const HEIGHT = 180;

/** Writes a time line of one run. */
export async function writeTimeline(result: GoodputResult, path: string): Promise<void> {
  const requests = result.timeline.flatMap((point) => [
    { second: point.second, what: 'offered', value: point.offered },
    { second: point.second, what: 'within targets', value: point.goodput },
  ]);
  const roles = result.timeline.flatMap((point) =>
    (['prefill', 'decode', 'mixed'] as const).map((role) => ({
      second: point.second,
      what: role,
      value: point[role],
    })),
  );
  const spec: TopLevelSpec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title: `${result.site}, ${result.scenario}, ${result.policy}, seed ${result.seed}`,
    vconcat: [
      {
        width: WIDTH,
        height: HEIGHT,
        data: { values: requests },
        mark: { type: 'line', interpolate: 'monotone' },
        encoding: {
          x: { field: 'second', type: 'quantitative', title: 'time (s)' },
          y: { field: 'value', type: 'quantitative', title: 'requests a second' },
          color: { field: 'what', type: 'nominal', title: null },
        },
      },
      {
        width: WIDTH,
        height: HEIGHT,
        data: { values: roles },
        mark: { type: 'area', interpolate: 'step-after' },
        encoding: {
          x: { field: 'second', type: 'quantitative', title: 'time (s)' },
          y: { field: 'value', type: 'quantitative', title: 'active engines', stack: 'zero' },
          color: { field: 'what', type: 'nominal', title: null },
        },
      },
    ],
    resolve: { scale: { color: 'independent' } },
  };
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  mkdirSync(dirname(path), { recursive: true });
  writeFileSync(path, await view.toSVG());
}
