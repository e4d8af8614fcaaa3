/// The KV cache handles of all back ends of a soak: which request's prompt each handle holds.
export class HandleRegistry {
  private readonly requests = new Map<string, string>()

  /// Adds a handle for the prompt of a request.
  add(handle: string, requestId: string): void {
    this.requests.set(handle, requestId)
  }

  /// Removes a handle and returns the request whose prompt it holds; a handle can be used once.
  remove(handle: string): string | undefined {
    const id = this.requests.get(handle)
    this.requests.delete(handle)
    return id
  }
}
