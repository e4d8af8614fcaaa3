/** Plain text tables for the terminal. */
import Table from 'cli-table3';

const BORDERLESS_CHARACTERS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
};

/** Formats rows as a table without borders under a header line. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const table = new Table({
    head: [...header],
    chars: BORDERLESS_CHARACTERS,
    style: { head: [], border: [], 'padding-left': 0, 'padding-right': 0 },
  });
  for (const row of rows) table.push([...row]);
  return table.toString();
}
