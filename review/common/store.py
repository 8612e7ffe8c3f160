"""The platform's metadata store: objects by kind and name, lists, watches."""

import asyncio

from web import Answer, Server, json_answer


class Store:
    def __init__(self):
        self._objects = {}
        self._events = []
        self._revision = 1
        self._changed = asyncio.Event()
        self.server = Server(self._answer)

    def put(self, kind, name, spec):
        self._revision += 1
        kept = self._objects.setdefault(kind, {}).get(name)
        created = kept["metadata"]["created"] if kept else self._revision
        entry = {"metadata": {"name": name, "rev": self._revision, "created": created,
                              "finalizers": [], "deleting": False}, "spec": spec, "status": {}}
        self._objects[kind][name] = entry
        self._note(kind, entry, False)
        return entry

    def remove(self, kind, name):
        gone = self._objects.get(kind, {}).pop(name, None)
        if gone:
            self._revision += 1
            self._note(kind, gone, True)

    def value(self, kind, name):
        found = self._objects.get(kind, {}).get(name)
        return found["spec"] if found else None

    def _note(self, kind, entry, deleted):
        self._events.append((self._revision, kind, {"object": entry, "deleted": deleted}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request, _):
        kind, _, name = request.path.removeprefix("/v1/objects/").partition("/")
        found = self._objects.get(kind, {}).get(name) if name else None
        if request.method == "POST":
            body = request.json()
            name = body["metadata"]["name"]
            if name in self._objects.get(kind, {}):
                return json_answer(409, self._objects[kind][name])
            return json_answer(201, self.put(kind, name, body["spec"]))
        if request.method in ("PUT", "DELETE"):
            if found is None:
                return Answer(404)
            body = request.json() if request.method == "PUT" else {}
            wanted = body.get("metadata", {}).get("rev", request.query.get("rev"))
            if wanted is not None and int(wanted) != found["metadata"]["rev"]:
                return json_answer(409, found)
            if request.method == "DELETE":
                self.remove(kind, name)
                return json_answer(200, found)
            if body["spec"] == found["spec"]:
                return json_answer(200, found)
            return json_answer(200, self.put(kind, name, body["spec"]))
        if name:
            return json_answer(200, found) if found else Answer(404)
        if "watch" in request.query:
            return await self._watch(kind, request.query)
        items = [self._objects[kind][each] for each in sorted(self._objects.get(kind, {}))]
        return json_answer(200, {"items": items, "hasMore": False, "asOf": self._revision})

    async def _watch(self, kind, query):
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [each for at, of, each in self._events if of == kind and at > since]
            left = end - loop.time()
            if events or left <= 0:
                return json_answer(200, {"events": events, "asOf": self._revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass
