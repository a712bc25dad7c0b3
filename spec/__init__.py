"""Models of the protocols, small enough to search all reachable states.

``tests.test_proof_model`` runs the model checker on them.
"""
