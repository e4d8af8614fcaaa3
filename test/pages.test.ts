/** Checks the links between the Markdown pages. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const LINK = /\]\(([^)#:]+)(?:#[^)]*)?\)/g;

function findPages(folder: string): string[] {
  return readdirSync(join(ROOT, folder))
    .filter((name) => name.endsWith('.md'))
    .map((name) => join(folder, name));
}

function readLinks(page: string): string[] {
  const text = readFileSync(join(ROOT, page), 'utf8');
  return [...text.matchAll(LINK)].map(([, target]) => join(dirname(page), target));
}

describe('pages', () => {
  it('each link to a file has an existing target', () => {
    const pages = ['.', 'docs', 'docs/design'].flatMap(findPages);
    const broken = pages.flatMap((page) =>
      readLinks(page)
        .filter((target) => !existsSync(join(ROOT, target)))
        .map((target) => `${page} -> ${target}`),
    );
    expect(broken).to.deep.equal([]);
  });

  it('each page of docs/design is listed in the index', () => {
    const listed = new Set(readLinks('docs/DESIGN.md'));
    expect(findPages('docs/design').filter((page) => !listed.has(page))).to.deep.equal([]);
  });
});
