/** Checks the imports between modules against the layout table in CONTRIBUTING.md, and the length of modules. */
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize, relative, sep } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const PROGRAM_FOLDERS = ['src', 'platform', 'lab', 'simulation', 'spec'];
const IMPORT = /^(?:import|export)\s+(type\s+)?([^;"']*?)\s*from\s+["'](\.[^"']+)["']/gm;
const MAXIMUM_LINES = 400;
const SCHEMA = /Schemas?$/;

interface Import {
  readonly from: string;
  readonly to: string;
  /** Imported values; types are left out. */
  readonly values: readonly string[];
}

/** One row of the layout table in CONTRIBUTING.md. */
interface LayoutRow {
  readonly folders: readonly string[];
  /** Folders whose modules may be imported; `src` includes all folders below it. */
  readonly allowed: readonly string[];
  /** Folders of the rows above from which only types and message schemas may be imported. */
  readonly typesOf: readonly string[];
}

function findFiles(folder: string): string[] {
  return readdirSync(join(ROOT, folder), { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
    .map((entry) => relative(ROOT, join(entry.parentPath, entry.name)).split(sep).join('/'));
}

function getFolder(file: string): string {
  const parts = file.split('/');
  return parts[0] === 'src' ? parts.slice(0, 2).join('/') : parts[0];
}

function parseValues(typeOnly: string | undefined, clause: string): string[] {
  if (typeOnly) return [];
  const names = clause.replace(/[{}]/g, ' ').split(',');
  return names.map((name) => name.trim()).filter((name) => name !== '' && !name.startsWith('type '));
}

function readImports(file: string): Import[] {
  const text = readFileSync(join(ROOT, file), 'utf8');
  return [...text.matchAll(IMPORT)].map(([, typeOnly, clause, path]) => ({
    from: file,
    to: normalize(join(dirname(file), path))
      .split(sep)
      .join('/')
      .replace(/\.js$/, '.ts'),
    values: parseValues(typeOnly, clause),
  }));
}

function parseNames(cell: string): string[] {
  return [...cell.matchAll(/`([\w/]+)`/g)].map(([, name]) => name);
}

function readLayout(): LayoutRow[] {
  const text = readFileSync(join(ROOT, 'CONTRIBUTING.md'), 'utf8');
  const lines = text.split('\n').filter((line) => /^\| `(src|platform|lab|simulation|spec)/.test(line));
  const above: string[] = [];
  return lines.map((line) => {
    const [, folderCell, , importCell] = line.split('|');
    const folders = parseNames(folderCell);
    const allowed = [...folders.filter(() => /each other/.test(importCell)), ...parseNames(importCell)];
    const onlyTypes = /types and message schemas of the rows above/.test(importCell);
    if (/rows above/.test(importCell) && !onlyTypes) allowed.push(...above);
    const row = { folders, allowed, typesOf: onlyTypes ? [...above] : [] };
    above.push(...folders);
    return row;
  });
}

function isAllowed(row: LayoutRow, { from, to, values }: Import): boolean {
  const target = getFolder(to);
  if (getFolder(from) === target) return true;
  const isCovered = (name: string): boolean => target === name || target.startsWith(`${name}/`);
  if (row.allowed.some(isCovered)) return true;
  return row.typesOf.some(isCovered) && values.every((name) => SCHEMA.test(name));
}

/** Finds an import cycle that can be reached from `start`. */
function findCycle(
  start: string,
  imports: ReadonlyMap<string, readonly string[]>,
  visited: Set<string>,
): string[] | undefined {
  const path: string[] = [];
  const visit = (file: string): string[] | undefined => {
    if (path.includes(file)) return [...path.slice(path.indexOf(file)), file];
    if (visited.has(file)) return undefined;
    path.push(file);
    for (const next of imports.get(file) ?? []) {
      const cycle = visit(next);
      visited.add(file);
      if (cycle) return cycle;
    }
    path.pop();
    visited.add(file);
    return undefined;
  };
  return visit(start);
}

describe('imports between modules', () => {
  const files = PROGRAM_FOLDERS.flatMap(findFiles);
  const imports = files.flatMap(readImports);

  it('the layout table of CONTRIBUTING.md lists exactly the folders that exist', () => {
    const named = readLayout().flatMap((row) => row.folders);
    expect([...new Set(files.map(getFolder))].sort()).to.deep.equal([...named].sort());
  });

  it('each import is one that the layout table allows', () => {
    const layout = readLayout();
    const violations = imports.filter((one) => {
      const row = layout.find(({ folders }) => folders.includes(getFolder(one.from)));
      return !row || !isAllowed(row, one);
    });
    expect(violations.map(({ from, to }) => `${from} -> ${to}`)).to.deep.equal([]);
  });

  it('no module has more than 400 lines', () => {
    const countLines = (file: string): number =>
      readFileSync(join(ROOT, file), 'utf8').trimEnd().split('\n').length;
    expect(files.filter((file) => countLines(file) > MAXIMUM_LINES)).to.deep.equal([]);
  });

  it('there are no import cycles, type imports included', () => {
    const targets = new Map<string, string[]>(files.map((file) => [file, []]));
    for (const { from, to } of imports) targets.get(from)?.push(to);
    const visited = new Set<string>();
    const cycles = files.map((file) => findCycle(file, targets, visited)).filter(Boolean);
    expect(cycles).to.deep.equal([]);
  });
});
