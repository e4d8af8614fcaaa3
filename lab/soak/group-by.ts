/// Groups items by a key, in the order of their first appearance.
export function groupBy<Key, Item>(items: readonly Item[], getKey: (item: Item) => Key): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>()
  for (const item of items) {
    const key = getKey(item)
    const group = groups.get(key)
    if (group) group.push(item)
    else groups.set(key, [item])
  }
  return groups
}
