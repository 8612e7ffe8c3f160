// deckpitchctl: the operators' tool.
int main() { return 2; }
