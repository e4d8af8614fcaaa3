/** A load's results as a table. */
import { formatTable } from '../src/shared/table.js';
import type { LoadGenerator, ServiceResult } from './load-generator.js';

/** Formats the results of every service. */
export function formatLoadReport(load: LoadGenerator): string {
  const header = [
    'service',
    'sent',
    'whole',
    'in target',
    'refused',
    'broken',
    'wrong',
    'unanswered',
    'first token p50/p95 ms',
    'between tokens p95 ms',
  ];
  const rows = [...load.results].map(([service, result]) => [
    service,
    result.sent,
    result.complete,
    result.withinTargets,
    refusals(result),
    result.broken,
    result.wrong,
    result.unanswered,
    result.firstToken.totalCount === 0
      ? '-'
      : `${result.firstToken.getValueAtPercentile(50)}/${result.firstToken.getValueAtPercentile(95)}`,
    result.betweenTokens.totalCount === 0 ? '-' : String(result.betweenTokens.getValueAtPercentile(95)),
  ]);
  return formatTable(header, rows);
}

function refusals(result: ServiceResult): string {
  if (result.refused.size === 0) return '0';
  return [...result.refused].map(([code, count]) => `${count} ${code}`).join(', ');
}
